# The store goes down right after it accepted a release note. The note must reach the other entry through the agents.
start x y e1 e2
3000ms op publishes n1 x base=1
3005ms platform down
10s c1 asks y "len=4 one"
end 12s
expect op note-accepted version=2
expect c1 completion count=4
expect count in-force from=x version=2 is 1
expect count in-force from=y version=2 is 1
