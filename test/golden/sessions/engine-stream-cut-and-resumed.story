# The engine's streams break while its generations continue. The agent must attach again after the last token.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms c1 asks x "len=12" stream
18000ms c2 asks x "len=12"
18100ms engine e1 cut
18180ms engine e1 cut
end 30s
expect c1 finished count=12
expect c2 completion count=12
expect count runs is 32
