# The agent that claims a key is killed before its insert is answered, and the caller sends the registration again.
# Without the answer nobody can know whether the call ran, so it is refused with an unknown outcome.
start x y s1 s2
3000ms c1 calls x /orders key=k1 body=one
3003ms kill s1
3003ms kill s2
6000ms start s1 s2
12s c2 calls y /orders key=k1 body=one
end 40s
expect c2 failure run=unknown
expect count runs key=k1 is 0
