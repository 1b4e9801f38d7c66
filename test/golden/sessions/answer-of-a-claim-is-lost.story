# The store executes the insert of a claim but its answer is lost. The registration must still run exactly once.
start x y s1 s2
3000ms platform loses-answers
3100ms c1 calls x /orders key=k1 body=one
4500ms platform up
12s c2 calls y /orders key=k1 body=one
13s c3 calls x /orders key=k1 body=one
end 20s
expect c1 answer status=201 replayed=no
expect c2 answer status=201 replayed=yes
expect c3 answer status=201 replayed=yes
expect count runs key=k1 is 1
