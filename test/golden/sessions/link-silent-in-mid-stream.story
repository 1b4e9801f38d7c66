# The connection between the entry and the agent goes silent for good while a stream runs over it. The entry opens a
# new one and takes the stream up where it stopped.
start x e1 e2 e3
3000ms c1 asks x "len=40" stream
3300ms silence x e1
end 30s
expect c1 finished count=40
