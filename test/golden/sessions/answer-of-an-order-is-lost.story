# The store writes an order but its answer is lost. The operator repeats the order through the other entry and brings the
# zone back later.
start x y e1 e2 e3
3000ms platform loses-answers
3100ms op takes-out a x
5000ms platform up
5100ms op takes-out a y
11s c1 asks x "len=4 one"
11s c2 asks y "len=4 two"
12s op brings-back a y
18s c3 asks x "len=4 three"
end 24s
expect op order-taken subject=a out=no recorded=yes
expect c1 completion count=4
expect c2 completion count=4
expect c3 completion count=4
