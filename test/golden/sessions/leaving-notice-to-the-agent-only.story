# The notice that an instance is leaving reaches only its agent, because the platform's list lags. New work must go
# elsewhere while the running work completes.
start x y e1 e2
2900ms c0 asks x "len=200 long" stream
3000ms leaving e1
3000ms leaving s1
9000ms c1 asks x "len=4 one"
9000ms c2 asks y "len=4 two"
9100ms c3 asks x "len=4 three"
end 20s
expect c0 finished count=200
expect c1 completion count=4
expect c2 completion count=4
expect c3 completion count=4
