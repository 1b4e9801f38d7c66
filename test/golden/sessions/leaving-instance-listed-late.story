# The platform's list shows that the instance of an engine is leaving, but its agent gets no notice. The engine must get
# no new work.
start x y e1 e2
3000ms listed e1 leaving
12s c1 asks x "len=4 one"
12s c2 asks y "len=4 two"
12100ms c3 asks x "len=4 three"
end 20s
expect c1 completion count=4
expect c2 completion count=4
expect c3 completion count=4
expect count runs from=engine@e1 is 0
