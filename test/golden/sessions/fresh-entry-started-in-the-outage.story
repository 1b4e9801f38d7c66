# An entry starts while the store is down. It must refuse requests as not run while it has no configuration, and bring the
# newest one into force once the store is back.
start x e1 e2
3000ms op publishes n1 x base=1
4000ms platform down
5000ms start y
7000ms c1 asks y "len=4 one"
20s platform up
26s c2 asks y "len=4 two"
end 30s
expect c1 failure run=no
expect c2 completion count=4
expect count in-force from=y version=1 is 0
expect count in-force from=y version=2 is 1
