# An engine dies and is back before the next report of its load, while work runs and waits. The lost streams alone show
# it, and it gets no more than a cold engine bears.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18010ms many asks x "len=6" times=16
18040ms engine e1 restarts
18050ms more asks x "len=6" times=6
end 60s
