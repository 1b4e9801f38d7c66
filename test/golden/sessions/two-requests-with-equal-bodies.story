# Three requests have the same prompt, two of them at the same time. Each must get a generation of its own.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms c1 asks x "len=8 same"
18000ms c2 asks x "len=8 same"
18020ms c3 asks x "len=8 same" stream
end 30s
expect c1 completion count=8
expect c2 completion count=8
expect c3 finished count=8
expect count runs is 33
