# An entry is paused for less than a second while zone a is taken out. It then sends a waiting request to the zone on its
# stale view; the agent there must refuse it as not run, and the request runs elsewhere.
start x y e1 e2 e3
3000ms pause x
3100ms c1 asks x "len=4 one"
3200ms op takes-out a y
3700ms continue x
end 10s
expect c1 completion count=4
expect count refused from=e1 run=no is 1
expect count runs from=engine@e1 is 0
