# The entry is killed while a registration runs, and the caller sends it again through the other entry. The caller must
# get the answer of the first run.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one
3010ms kill x
3012ms c2 calls y /orders key=k1 body=one
end 30s
expect c2 answer status=201 replayed=yes
expect count runs key=k1 is 1
