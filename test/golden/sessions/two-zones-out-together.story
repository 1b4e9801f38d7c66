# Zones a and b are taken out at once through different entries, and zone b comes back first.
start x y e1 e2 e3
3000ms op1 takes-out a x
3000ms op2 takes-out b y
9000ms c1 asks x "len=4 one"
9000ms c2 asks y "len=4 two"
10s op2 brings-back b x
16s c3 asks x "len=4 three"
16s c4 asks y "len=4 four"
end 20s
expect c1 completion count=4
expect c2 completion count=4
expect c3 completion count=4
expect c4 completion count=4
expect count runs from=engine@e1 is 0
