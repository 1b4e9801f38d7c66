# The connection between the entry and an agent goes silent while a stream runs over it. The entry must open a new
# connection and resume the stream after the last token.
start x e1 e2 e3
3000ms c1 asks x "len=40" stream
3300ms silence x e1
end 30s
expect c1 finished count=40
