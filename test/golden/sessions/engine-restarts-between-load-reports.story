# An engine crashes and restarts before its next load report, with work running and queued. Only the lost streams reveal
# it; the engine must get no more work than a cold engine can run.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18010ms many asks x "len=6" times=16
18040ms engine e1 restarts
18050ms more asks x "len=6" times=6
end 60s
