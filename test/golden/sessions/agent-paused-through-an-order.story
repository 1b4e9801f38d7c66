# The agent of zone a is paused with queued work while an operator takes the zone out. After it continues, it starts no
# work before it has a message from an entry; the queued work is refused and runs elsewhere.
start x y e1 e2
2900ms c1 asks x "len=100 one"
2900ms c2 asks y "len=4 two"
3000ms pause e1
3100ms op takes-out a y
3200ms c3 asks y "len=4 three"
12s continue e1
end 40s
expect c1 completion count=100
expect c2 completion count=4
expect c3 completion count=4
