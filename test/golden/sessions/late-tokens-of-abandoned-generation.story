# All connections to an agent stall until its work counts as lost; the request runs elsewhere. When the connections work
# again, the first generation's tokens reach nobody and it is stopped.
start x e1 e2
3000ms c1 asks x "len=12"
3060ms block x e1
3060ms block x e2
8000ms unblock x e1
8000ms unblock x e2
end 30s
expect c1 completion count=12
