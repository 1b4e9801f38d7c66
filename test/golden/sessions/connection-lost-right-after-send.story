# The connections to the agents break while a registration and a completion are in transit. The registration must not be
# reported as not run; the completion is generated elsewhere.
start x e1 e2 s1 s2
3000ms c1 asks x "len=4 one"
3000ms c2 calls x /orders key=k1 body=one
3001ms cut x e1
3001ms cut x e2
3001ms cut x s1
3001ms cut x s2
3100ms c3 calls x /orders key=k1 body=one
6000ms c4 calls x /orders key=k1 body=one
end 20s
expect c1 completion count=4
expect c2 failure run=unknown
expect c4 answer status=201 replayed=yes
expect count runs key=k1 is 1
