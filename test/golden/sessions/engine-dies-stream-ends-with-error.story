# The engine crashes in mid-stream. The caller must get an explicit error and no token of another generation.
start x e1
3000ms c1 asks x "len=30" stream
3100ms engine e1 dies
3300ms engine e1 starts
end 15s
expect c1 failure code=engine_failed run=yes
expect count restart to=c1 is 0
