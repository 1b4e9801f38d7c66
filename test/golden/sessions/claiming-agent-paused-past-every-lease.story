# An agent is paused while it claims a key, for longer than any budget or lease. Meanwhile the caller sends the
# registration again through the other entry.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one budget=5s
3003ms pause s1
10s c2 calls y /orders key=k1 body=one budget=5s
60s continue s1
70s c3 calls x /orders key=k1 body=one
end 90s
expect c1 failure run=unknown
expect c2 failure run=unknown
expect c3 answer status=201 replayed=no
expect count runs key=k1 is 1
