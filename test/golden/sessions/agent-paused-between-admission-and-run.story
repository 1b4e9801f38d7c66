# The agent of the only engine is paused with one generation running and one admitted to its queue, for longer than the
# entries wait for it. The outcomes reported to its callers must still be true after the agent continues.
start x y e1
3000ms c1 asks x "len=40 one"
3000ms c2 asks y "len=4 two"
3100ms pause e1
30s continue e1
end 70s
expect c1 completion count=40
expect c2 completion count=4
