# The store is down for a minute. Registrations must be refused as not run while repeatable calls continue to work.
start x y s1 s2
3000ms platform down
3100ms c1 calls x /orders key=k1 body=one
3100ms c2 calls y /lookup
30s c3 calls y /orders key=k1 body=one
30s c4 calls x /lookup
63s platform up
70s c5 calls x /orders key=k1 body=one
end 90s
expect c1 failure run=no
expect c2 answer status=201
expect c3 failure run=no
expect c4 answer status=201
expect c5 answer status=201 replayed=no
expect count runs key=k1 is 1
