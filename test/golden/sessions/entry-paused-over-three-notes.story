# An entry is paused while three release notes are accepted, and the store is down when it continues. An older note must
# never come into force again.
start x y e1 e2
3000ms pause y
4000ms op publishes n1 x base=1
5000ms op publishes n2 x base=2
6000ms op publishes n3 x base=3
7000ms platform down
8000ms continue y
14s platform up
16s kill x
17s start x
end 25s
expect op note-accepted version=4
expect count in-force from=y version=4 is 1
expect count in-force from=x version=1 is 1
expect count in-force from=x version=4 is 2
