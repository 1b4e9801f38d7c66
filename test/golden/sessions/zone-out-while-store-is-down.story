# An operator takes zone a out while the store is down. The order must be in force at both entries within seconds and be
# written when the store is back.
start x y e1 e2 e3
3000ms platform down
3500ms op takes-out a x
9000ms c1 asks x "len=4 one"
9000ms c2 asks y "len=4 two"
9100ms c3 asks x "len=4 three"
9100ms c4 asks y "len=4 four"
12s platform up
20s c5 asks x "len=4 five"
20s c6 asks y "len=4 six"
end 25s
expect op order-taken subject=a out=yes recorded=no
expect c1 completion count=4
expect c2 completion count=4
expect c3 completion count=4
expect c4 completion count=4
expect c5 completion count=4
expect c6 completion count=4
expect count runs from=engine@e1 is 0
