# All connections to an agent are blocked until its work counts as lost, and the request runs elsewhere. When the
# connections work again, tokens of the first generation must reach no caller and the generation is stopped.
start x e1 e2
3000ms c1 asks x "len=12"
3060ms block x e1
3060ms block x e2
8000ms unblock x e1
8000ms unblock x e2
end 30s
expect c1 completion count=12
