# Zone b is taken out through the entry of zone a while the store is down. The entry of zone b must send no more work to
# its zone.
start x y e1 e2 e3
3000ms platform down
3100ms op takes-out b x
9000ms c1 asks y "len=4 one"
9100ms c2 asks y "len=4 two"
end 15s
expect op order-taken subject=b out=yes recorded=no
expect c1 completion count=4
expect c2 completion count=4
expect count runs from=engine@e2 is 0
