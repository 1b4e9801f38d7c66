# A request waits behind another one at a cold engine, and its budget expires in the same milliseconds in which the engine
# becomes free. A request reported as not run must never run. Each round starts with a new, cold agent.
start x y e1
3000ms a1 asks x "len=40 a1"
3000ms b1 asks y "len=4 b1" budget=801ms
5000ms kill e1
5000ms start e1
10s a2 asks x "len=40 a2"
10s b2 asks y "len=4 b2" budget=802ms
12s kill e1
12s start e1
17s a3 asks x "len=40 a3"
17s b3 asks y "len=4 b3" budget=803ms
19s kill e1
19s start e1
24s a4 asks x "len=40 a4"
24s b4 asks y "len=4 b4" budget=805ms
end 30s
expect a1 completion count=40
expect a2 completion count=40
expect a3 completion count=40
expect a4 completion count=40
expect b1 failure run=no
