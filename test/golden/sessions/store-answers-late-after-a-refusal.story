# The store executes the insert of a claim long after its agent gave up. The refusal must stay true: the key runs only
# when the caller sends the registration again.
start x y s1 s2
3000ms platform slow
3100ms c1 calls x /orders key=k1 body=one
9000ms platform up
14s c2 calls y /orders key=k1 body=one
end 30s
expect count runs gen=g1 is 0
expect count runs gen=g2 is 0
expect count runs key=k1 is 1
expect c1 failure run=no
expect c2 answer status=201 replayed=no
