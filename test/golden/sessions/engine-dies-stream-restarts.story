# The engine dies in mid-stream. The caller chose a restart: it is told so and gets a new generation from token 0.
start x e1 e2
3000ms c1 asks x "len=12" stream restart
3100ms engine e1 dies
3100ms engine e2 dies
3300ms engine e1 starts
3300ms engine e2 starts
end 15s
expect c1 finished count=12
expect count restart to=c1 is 1
