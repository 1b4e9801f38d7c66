# An entry is told to stop, twice, with a stream and a whole answer in progress. Both must complete; new requests are
# refused.
start x y e1 e2
3000ms c1 asks x "len=10" stream
3000ms c2 asks x "len=10 other"
3060ms stop x
3100ms c3 asks x "len=4"
3150ms stop x
end 60s
expect c1 finished count=10
expect c2 completion count=10
expect c3 failure code=stopping run=no
expect count drained from=x is 1
