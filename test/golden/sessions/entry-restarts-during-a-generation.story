# An entry is killed and restarted while one of its generations runs. Tokens of that generation must not reach the callers
# of the restarted entry.
start x e1
3000ms c1 asks x "len=60"
3200ms kill x
3300ms start x
4600ms c2 asks x "len=8"
4600ms c3 asks x "len=5" stream
end 40s
expect c2 completion count=8
expect c3 finished count=5
