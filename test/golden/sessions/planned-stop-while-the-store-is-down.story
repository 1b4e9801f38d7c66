# An entry and an agent are told to stop while the platform is down. Their work must complete all the same.
start x e1 e2
2900ms platform down
3000ms c1 asks x "len=10" stream
3000ms c2 asks x "len=10"
3060ms stop x
3060ms stop e1
end 90s
expect c1 finished count=10
expect c2 completion count=10
expect count drained from=x is 1
expect count drained from=e1 is 1
