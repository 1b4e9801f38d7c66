# The store is slow but not down during registrations, an order and a completion.
start x y e1 e2 s1 s2
3000ms platform slow
3100ms c1 asks x "len=4 one"
3200ms c2 calls x /orders key=k1 body=one
3300ms op takes-out a y
9000ms c3 calls y /orders key=k1 body=one
9500ms c4 asks x "len=4 two"
12s platform up
20s c5 calls y /orders key=k2 body=two
20s c6 asks y "len=4 three"
end 30s
expect c1 completion count=4
expect c2 failure run=no
expect c4 completion count=4
expect c5 answer status=201
expect c6 completion count=4
