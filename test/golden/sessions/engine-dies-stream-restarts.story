# The engines crash in mid-stream and the caller chose to restart. The caller must be told of the restart and get a new
# generation from token 0.
start x e1 e2
3000ms c1 asks x "len=12" stream restart
3100ms engine e1 dies
3100ms engine e2 dies
3300ms engine e1 starts
3300ms engine e2 starts
end 15s
expect c1 finished count=12
expect count restart to=c1 is 1
