# The agent that claimed a key is killed while the service runs the call. The call must not run again; the caller is told
# that its outcome is unknown.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one
3015ms kill s1
3015ms kill s2
6000ms start s1 s2
12s c2 calls y /orders key=k1 body=one
end 40s
expect count runs key=k1 is 1
expect c2 failure run=unknown
