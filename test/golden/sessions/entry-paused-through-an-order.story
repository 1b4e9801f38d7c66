# An entry is paused while zone a is taken out, and continues long after. It must accept no work before it is connected to
# the agents again, and then follow the order that it missed.
start x y e1 e2 e3
3000ms pause x
3500ms op takes-out a y
12s c1 asks x "len=4 one"
12500ms continue x
14s c2 asks x "len=4 two"
14100ms c3 asks x "len=4 three"
14200ms c4 asks x "len=4 four"
end 20s
expect op order-taken subject=a out=yes
expect c1 failure run=no
expect c2 completion count=4
expect c3 completion count=4
expect c4 completion count=4
expect count runs from=engine@e1 is 0
