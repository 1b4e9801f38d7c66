# An engine's load reports are missing while the engine crashes and restarts with work running. The lost work alone must
# reveal the restart.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
17900ms engine e1 holds-reports
18010ms many asks x "len=6" times=14
18040ms engine e1 restarts
18300ms more asks x "len=6" times=10
20000ms engine e1 releases-reports
end 60s
