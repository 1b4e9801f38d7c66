# A busy engine loses its caches within one incarnation. Its token interval reveals it; the engine must get little work
# until it has warmed up again.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms many asks x "len=12" times=8
18050ms engine e1 turns-cold
21500ms more asks x "len=6" times=8
end 90s
