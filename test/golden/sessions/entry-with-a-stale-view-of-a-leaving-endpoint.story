# An entry is paused for less than a second while an endpoint gets its leaving notice. It then sends a waiting request to
# that endpoint; the agent must refuse it as not run, and the request runs elsewhere.
start x y e1 e2
3000ms pause x
3100ms c1 asks x "len=4 one"
3200ms leaving e1
3700ms continue x
9000ms c2 asks x "len=4 two"
end 15s
expect c1 completion count=4
expect c2 completion count=4
expect count refused from=e1 run=no is 1
expect count runs from=engine@e1 is 0
