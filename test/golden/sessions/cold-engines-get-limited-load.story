# Many requests arrive when the engines have just started. Each engine must get no more than a cold engine can run; the
# other requests wait or are refused, and no refused request runs.
start x e1 e2
3000ms many asks x "len=8" times=24
end 40s
