# An entry is paused while the answers of three requests arrive, and delivers them after it continues. Each caller must
# get its own answer.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms c1 asks x "len=6"
18000ms c2 asks x "len=9"
18010ms c3 asks x "len=7" stream
18050ms pause x
24000ms continue x
end 40s
expect c1 completion count=6
expect c2 completion count=9
expect c3 finished count=7
