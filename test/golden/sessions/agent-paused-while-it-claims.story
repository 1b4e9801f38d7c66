# The agent of a plain service is paused between the claim of a key and the call, for longer than an entry waits for it.
# The call must run only once when the caller sends it again.
start x s1 s2
3000ms c1 calls x /orders key=k1 body=one
3002ms pause s1
13s continue s1
16s c2 calls x /orders key=k1 body=one
end 30s
expect c1 failure run=unknown
expect c2 answer status=201
expect count runs key=k1 is 1
