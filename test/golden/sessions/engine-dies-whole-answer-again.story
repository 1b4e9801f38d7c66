# The engines crash while one of them generates a whole answer. The caller must get the complete answer of a second
# generation only.
start x e1 e2
3000ms c1 asks x "len=12"
3100ms engine e1 dies
3100ms engine e2 dies
3300ms engine e1 starts
3300ms engine e2 starts
end 15s
expect c1 completion count=12
