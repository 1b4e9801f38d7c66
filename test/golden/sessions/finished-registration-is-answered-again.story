# A finished registration is sent again after the agents and the entry were restarted. The recorded answer must be
# returned; another body with the same key is refused.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one
5000ms kill s1
5000ms kill s2
5000ms kill x
6000ms start x s1 s2
12s c2 calls x /orders key=k1 body=one
13s c3 calls y /orders key=k1 body=one
14s c4 calls y /orders key=k1 body=other
end 20s
expect c1 answer status=201 replayed=no
expect c2 answer status=201 replayed=yes
expect c3 answer status=201 replayed=yes
expect c4 failure run=no
expect count runs key=k1 is 1
