# One team sends far more requests than the engine has capacity for. The requests of the other team must succeed.
start x e1
3000ms warm asks x "len=4" times=30 every=500ms
shown-from 17900ms
18000ms flood asks x "len=6" times=20 team=musanze
18020ms c1 asks x "len=5" team=huye
18040ms c2 asks x "len=5" stream team=huye
end 60s
expect c1 completion count=5
expect c2 finished count=5
