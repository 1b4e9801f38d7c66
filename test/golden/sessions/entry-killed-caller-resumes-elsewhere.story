# An entry is killed in mid-stream. The caller must be able to resume the same generation at the other entry, after the
# last token that it received.
start x y e1 e2
3000ms c1 asks x "len=12" stream
3100ms kill x
3400ms c2 resumes c1 at y
end 10s
expect c2 finished count=12
expect count runs is 1
