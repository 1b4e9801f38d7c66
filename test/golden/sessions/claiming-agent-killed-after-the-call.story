# The agent that ran a call is killed after the service answered, before the answer is recorded.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one
3025ms kill s1
3025ms kill s2
6000ms start s1 s2
12s c2 calls y /orders key=k1 body=one
end 40s
expect count runs key=k1 is 1
expect c2 answer status=201 replayed=yes
