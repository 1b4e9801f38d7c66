# A registration arrives at both entries at the same time, and again later. It must run once.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one
3000ms c2 calls y /orders key=k1 body=one
9000ms c3 calls x /orders key=k1 body=one
end 30s
expect c3 answer status=201 replayed=yes
expect count runs key=k1 is 1
