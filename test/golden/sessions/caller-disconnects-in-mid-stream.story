# A caller disconnects in mid-stream and another request follows at once. The abandoned generation must be stopped.
start x e1
3000ms c1 asks x "len=40" stream
3100ms c1 leaves
3120ms c2 asks x "len=8"
end 20s
expect c2 completion count=8
expect count stopped is 1
