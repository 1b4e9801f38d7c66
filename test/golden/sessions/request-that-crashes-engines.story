# A request crashes each engine that runs it. It must be quarantined after two crashes, also when it is sent again through
# the other entry; the requests that ran beside it complete.
start x y e1 e2 e3
3000ms c1 asks x "len=20"
3000ms c2 asks y "len=20"
3010ms bad1 asks x "crash! len=50"
4000ms engine e1 starts
4000ms engine e2 starts
4000ms engine e3 starts
12000ms engine e1 starts
12000ms engine e2 starts
12000ms engine e3 starts
15000ms bad2 asks y "crash! len=50"
16000ms c3 asks y "len=20"
end 60s
expect c1 completion count=20
expect c2 completion count=20
expect bad1 failure code=quarantined run=yes
expect bad2 failure code=quarantined run=no
expect c3 completion count=20
expect count dies is 2
