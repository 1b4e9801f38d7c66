# An agent is told to stop, twice, with a stream running and work queued behind it. All of this work must complete.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms many asks x "len=12" times=12
18100ms c1 asks x "len=12" stream
18100ms c2 asks x "len=10"
18110ms stop e1
18400ms stop e1
18500ms c3 asks x "len=4"
end 60s
expect c1 finished count=12
expect c2 completion count=10
expect c3 failure run=no
expect count completion count=12 is 12
expect count drained from=e1 is 1
