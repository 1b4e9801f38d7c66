# Many requests meet engines that have just started. Each gets a few; the others wait or are refused, truly.
start x e1 e2
3000ms many asks x "len=8" times=24
end 40s
