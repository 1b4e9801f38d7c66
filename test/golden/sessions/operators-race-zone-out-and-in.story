# Two operators issue opposite orders for zone a through two entries at the same time. Both entries must follow the same
# one, and a later third order.
start x y e1 e2 e3
3000ms op1 takes-out a x
3000ms op2 brings-back a y
6000ms c1 asks x "len=4 one"
6000ms c2 asks y "len=4 two"
8000ms op1 takes-out a y
14s c3 asks x "len=4 three"
14s c4 asks y "len=4 four"
14100ms c5 asks x "len=4 five"
14100ms c6 asks y "len=4 six"
end 20s
expect c1 completion count=4
expect c2 completion count=4
expect c3 completion count=4
expect c4 completion count=4
expect c5 completion count=4
expect op2 order-superseded out=yes
expect count runs from=engine@e1 is 0
