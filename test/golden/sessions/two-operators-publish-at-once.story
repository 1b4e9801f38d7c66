# Two operators publish release notes on the same base through two entries at once. One note must be accepted; the other
# operator is told that the base is stale and publishes again.
start x y e1 e2
3000ms op1 publishes n1 x base=1
3000ms op2 publishes n2 y base=1
9000ms op3 publishes n3 y base=2
end 15s
expect op3 note-accepted version=3
expect count note-stale is 1
expect count note-accepted is 2
