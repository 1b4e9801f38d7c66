# Two entries send requests at once to the only engine, just after it crashed and restarted. Together they must not exceed
# what a cold engine can run.
start x y e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms engine e1 dies
18700ms engine e1 starts
19000ms left asks x "len=8" times=8
19000ms right asks y "len=8" times=8
end 60s
