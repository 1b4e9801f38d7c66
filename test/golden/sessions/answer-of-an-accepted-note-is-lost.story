# The store writes an accepted release note but its answer is lost. The entry must resolve the outcome and not accept the
# note twice.
start x y e1 e2
3000ms platform loses-answers
3100ms op publishes n1 x base=1
5000ms platform up
15s op publishes n2 y base=2
end 22s
expect op note-accepted version=3
expect count in-force from=y version=2 is 1
expect count in-force from=x version=3 is 1
